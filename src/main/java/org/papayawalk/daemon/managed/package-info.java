/** Processes on the users' machines: start, and following the state that the platform keeps. */
package org.papayawalk.daemon.managed;
