/** When a host may switch to the wanted version, and which orders may still be sent. */
package org.papayawalk.core.rollout;
