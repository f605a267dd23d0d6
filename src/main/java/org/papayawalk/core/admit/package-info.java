/** Admission control of an upstream: which requests start, which wait, and which are refused. */
package org.papayawalk.core.admit;
