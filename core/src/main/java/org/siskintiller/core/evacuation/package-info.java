/** Evacuation of failure domains by records of the operator. */
package org.siskintiller.core.evacuation;
