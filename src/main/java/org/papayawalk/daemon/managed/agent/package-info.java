/** The agent on the users' machines: brings weights to the model engine beside it. */
package org.papayawalk.daemon.managed.agent;
