/**
 * The planners' sheet and the configuration created from it, for the stand-alone program: parsing,
 * validation, comparison and adoption. A daemon never replaces the configuration in force by one
 * with a lower version.
 */
package org.papayawalk.core.config;
