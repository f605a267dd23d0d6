/**
 * The lab tool: starts stand-ins for the platform's services and for upstreams, controls their
 * faults, and runs experiments. Not part of a deployment.
 */
package org.papayawalk.lab;
