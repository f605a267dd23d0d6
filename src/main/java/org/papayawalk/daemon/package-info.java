/** Code that stand-alone daemons and daemons on the managed platform share. */
package org.papayawalk.daemon;
