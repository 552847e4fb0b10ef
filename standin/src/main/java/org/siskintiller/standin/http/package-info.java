/** HTTP helpers that the stand-ins share. */
package org.siskintiller.standin.http;
