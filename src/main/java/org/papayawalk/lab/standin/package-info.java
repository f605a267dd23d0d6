/** Stand-ins that speak the published protocols and fail on order. */
package org.papayawalk.lab.standin;
