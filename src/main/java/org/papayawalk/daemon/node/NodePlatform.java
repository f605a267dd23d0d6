package org.papayawalk.daemon.node;

import org.papayawalk.core.port.HostList;
import org.papayawalk.core.port.TableService;

/**
 * Services of the platform that every daemon uses. Immutable.
 *
 * @param table table service
 * @param hostList host list
 */
public record NodePlatform(TableService table, HostList hostList) {}
