/** Which requests an upstream runs now, which wait, and which are refused at once. */
package org.papayawalk.core.admit;
