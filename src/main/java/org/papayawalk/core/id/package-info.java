/** Value types for the names and versions that the other packages pass around. */
package org.papayawalk.core.id;
