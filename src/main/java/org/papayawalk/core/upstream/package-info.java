/** What is known of the upstreams of a site: who they are, whether they leave, what they hold. */
package org.papayawalk.core.upstream;
