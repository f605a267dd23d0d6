/**
 * Agent on the managed platform: decides which version of the model weights the engine beside it is
 * to serve and when the engine loads it, and has the version fetched and staged.
 */
package org.papayawalk.daemon.managed.agent;
