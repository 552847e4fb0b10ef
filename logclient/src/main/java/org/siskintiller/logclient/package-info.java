/** Client of the log service. */
package org.siskintiller.logclient;
