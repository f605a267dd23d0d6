/**
 * Upstreams on the managed platform: their registrations, whether they drain, which models they
 * serve, and replicas of the store's tables from which this state is read.
 */
package org.papayawalk.core.upstream;
