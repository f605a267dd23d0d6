/** Detection, isolation and refusal of poison requests, that is, requests that crash upstreams. */
package org.papayawalk.core.suspect;
