/** Protobuf schema, and codecs that convert core records to bytes and back. */
package org.siskintiller.wire;
