/** Weights on the users' machines: their origin, their names, and who exchanges them with whom. */
package org.papayawalk.daemon.managed.weight;
