package org.siskintiller.node.log;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.siskintiller.core.model.Bytes;
import org.siskintiller.core.model.LogEntry;
import org.siskintiller.core.model.LogRecord;
import org.siskintiller.core.model.OperationId;
import org.siskintiller.logclient.StoredRecord;

import static com.google.common.truth.Truth.assertThat;

class ControlStreamReaderTest {

    /** Guards against one malformed record that stops the replay of all companions. */
    @Test
    void malformedRecordKeepsItsOffset() {
        byte[] garbage = {(byte) 0xff, 1, 2, 3};
        List<LogEntry> entries = ControlStreamReader.decode(
                List.of(new StoredRecord(7, new OperationId(1, 2), 0, Bytes.copyOf(garbage))));
        assertThat(entries).hasSize(1);
        assertThat(entries.get(0).offset()).isEqualTo(7);
        assertThat(entries.get(0).record()).isInstanceOf(LogRecord.Audited.class);
    }
}
