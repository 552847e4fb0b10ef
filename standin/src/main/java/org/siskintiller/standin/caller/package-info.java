/** Load-generating caller. */
package org.siskintiller.standin.caller;
