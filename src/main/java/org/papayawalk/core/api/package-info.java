/** Names of the callers' interface that several programs share. */
package org.papayawalk.core.api;
