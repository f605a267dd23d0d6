/** Immutable value types for names, digests and configuration versions. */
package org.papayawalk.core.id;
