/** Requests that crash their upstreams: evidence, quarantine and refusal. */
package org.papayawalk.core.suspect;
