/** Names in the HTTP interface for callers that more than one program uses. */
package org.papayawalk.core.api;
