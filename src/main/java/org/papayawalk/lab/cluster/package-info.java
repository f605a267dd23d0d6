/** Clusters of real daemons and stand-ins in one process, for experiments and tests. */
package org.papayawalk.lab.cluster;
