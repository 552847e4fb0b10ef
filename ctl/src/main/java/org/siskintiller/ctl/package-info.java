/** Command line tool for operators. */
package org.siskintiller.ctl;
