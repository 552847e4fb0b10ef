/** Ranges of numeric keys, their exclusive holders and the planner that moves them. */
package org.siskintiller.core.keyrange;
