/** Request experiment: callers, injected faults and checks around real daemons in one process. */
package org.papayawalk.lab.requests;
