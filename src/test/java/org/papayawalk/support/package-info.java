/** Utilities that tests of several packages share. */
package org.papayawalk.support;
