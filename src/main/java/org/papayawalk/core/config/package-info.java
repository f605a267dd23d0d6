/**
 * The planners' sheet and the configuration made from it: parsing, checking, comparing and
 * adopting. An adopted configuration is never replaced by an earlier one.
 */
package org.papayawalk.core.config;
