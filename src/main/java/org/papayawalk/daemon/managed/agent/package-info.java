/** Agent on the managed platform: brings model weights to the engine beside it. */
package org.papayawalk.daemon.managed.agent;
