/** Small helpers that several tests use. */
package org.papayawalk.support;
