/** Which host a request goes to, and whether it may be tried again. */
package org.papayawalk.core.route;
