/** Stand-ins of the platform and of upstreams, with the published protocols and injected faults. */
package org.papayawalk.lab.standin;
