/** The entry: takes callers' HTTP requests, routes them to agents and answers. */
package org.papayawalk.daemon.standalone.entry;
