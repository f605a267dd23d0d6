/**
 * Detection, isolation and refusal of poison requests, that is, requests that crash upstreams. Used
 * by the entries of both programs.
 */
package org.papayawalk.core.suspect;
