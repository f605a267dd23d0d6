/**
 * Names, formats and calls of the users' platform. Decodes them into the product's own types and
 * decides nothing.
 */
package org.papayawalk.platform;
