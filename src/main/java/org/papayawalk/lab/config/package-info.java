/** The configuration experiment: changes, races of operators and faults, and what control costs. */
package org.papayawalk.lab.config;
