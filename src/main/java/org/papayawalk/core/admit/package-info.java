/**
 * Admission control in the stand-alone agent: decides which requests to its upstream start, which
 * wait, and which are refused.
 */
package org.papayawalk.core.admit;
