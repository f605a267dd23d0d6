/** Real daemons and stand-ins wired together in one process, for experiments and tests. */
package org.papayawalk.lab.cluster;
