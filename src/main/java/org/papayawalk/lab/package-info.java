/** Stand-ins for the platform and for upstreams, and experiments. Not part of a deployment. */
package org.papayawalk.lab;
