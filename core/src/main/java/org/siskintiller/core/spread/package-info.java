/** Distribution of large contents from one companion to many, over links of a few Mbit/s. */
package org.siskintiller.core.spread;
