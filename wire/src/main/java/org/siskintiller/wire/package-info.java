/** Protobuf schema and codecs between core records and bytes. */
package org.siskintiller.wire;
