package org.lovagegrade.state.log;

import static com.google.common.truth.Truth.assertThat;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.ByteString;
import java.io.IOException;
import java.io.RandomAccessFile;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.lovagegrade.wire.proto.HardStateProto;
import org.lovagegrade.wire.proto.LogEntryProto;
import org.lovagegrade.wire.proto.SnapshotMetaProto;

final class DurableLogTest {
    private static final int ENTRIES = 20;

    @TempDir
    private Path folder;

    private static LogEntryProto entry(long index) {
        return LogEntryProto.newBuilder()
                .setIndex(index)
                .setTerm(1)
                .setCommand(ByteString.copyFromUtf8("command " + index))
                .build();
    }

    private void writeEntries() throws CorruptLogException {
        try (DurableLog log = DurableLog.open(folder)) {
            log.saveHardState(
                    HardStateProto.newBuilder().setTerm(3).setVotedFor("s2#1").build());
            for (long index = 1; index <= ENTRIES; index++) {
                log.append(entry(index));
            }
            log.sync();
        }
    }

    private Path logFile() throws IOException {
        try (Stream<Path> files = Files.list(folder)) {
            return files.filter(file -> file.getFileName().toString().startsWith("log-"))
                    .findFirst()
                    .orElseThrow();
        }
    }

    @Nested
    final class Reopened {
        @Test
        void shouldContainAllSyncedEntries() throws CorruptLogException {
            // given
            writeEntries();

            // when
            try (DurableLog log = DurableLog.open(folder)) {
                // then
                assertThat(log.lastIndex()).isEqualTo(ENTRIES);
                assertThat(log.entry(7)).isEqualTo(entry(7));
                assertThat(log.hardState().getVotedFor()).isEqualTo("s2#1");
            }
        }

        @Test
        void shouldContainEntryThatReplacedTruncatedTail() throws CorruptLogException {
            // given
            writeEntries();
            LogEntryProto other = entry(11).toBuilder().setTerm(4).build();
            try (DurableLog log = DurableLog.open(folder)) {
                log.truncateFrom(11);
                log.append(other);
                log.sync();
            }

            // when
            try (DurableLog log = DurableLog.open(folder)) {
                // then
                assertThat(log.lastIndex()).isEqualTo(11);
                assertThat(log.entry(11)).isEqualTo(other);
            }
        }

        @Test
        void shouldContainSnapshotAndLaterEntries() throws CorruptLogException {
            // given
            writeEntries();
            SnapshotMetaProto meta =
                    SnapshotMetaProto.newBuilder().setIndex(15).setTerm(1).build();
            try (DurableLog log = DurableLog.open(folder)) {
                log.saveSnapshot(meta, ByteString.copyFromUtf8("state at 15"));
                log.append(entry(21));
                log.sync();
            }

            // when
            try (DurableLog log = DurableLog.open(folder)) {
                // then
                assertThat(log.firstIndex()).isEqualTo(16);
                assertThat(log.lastIndex()).isEqualTo(21);
                assertThat(log.readSnapshot().toStringUtf8()).isEqualTo("state at 15");
                assertThat(log.snapshotChunk(6, 100).toStringUtf8()).isEqualTo("at 15");
                assertThat(log.hardState().getTerm()).isEqualTo(3);
            }
        }

        @Test
        void shouldRejectFolderInUse() throws CorruptLogException {
            try (DurableLog log = DurableLog.open(folder)) {
                assertThat(log.lastIndex()).isEqualTo(0);
                assertThrows(RuntimeException.class, () -> DurableLog.open(folder));
            }
        }
    }

    @Nested
    final class Damage {
        @Test
        void shouldTruncateTailTornAtAnyByteAndContinue() throws CorruptLogException, IOException {
            // given
            writeEntries();
            Path file = logFile();
            byte[] content = Files.readAllBytes(file);
            int lastRecordOffset = content.length - (entry(ENTRIES).getSerializedSize() + 2 + 8);

            for (int length = lastRecordOffset + 1; length < content.length; length++) {
                // when
                Files.write(file, Arrays.copyOf(content, length));
                try (DurableLog log = DurableLog.open(folder)) {
                    // then
                    assertThat(log.lastIndex()).isEqualTo(ENTRIES - 1);
                    log.append(entry(ENTRIES));
                    log.sync();
                }
                assertThat(Files.readAllBytes(file)).isEqualTo(content);
            }
        }

        @Test
        void shouldRejectDamageInMiddleAndReportItsOffset() throws CorruptLogException, IOException {
            // given
            writeEntries();
            Path file = logFile();
            long middle = Files.size(file) / 2;
            try (RandomAccessFile access = new RandomAccessFile(file.toFile(), "rw")) {
                access.seek(middle);
                int original = access.read();
                access.seek(middle);
                access.write(original ^ 0xff);
            }
            byte[] damaged = Files.readAllBytes(file);

            // when
            CorruptLogException error = assertThrows(CorruptLogException.class, () -> DurableLog.open(folder));

            // then
            assertThat(error.offset()).isAtMost(middle);
            assertThat(error).hasMessageThat().contains(file.toString());
            assertThat(Files.readAllBytes(file)).isEqualTo(damaged);
        }

        @Test
        void shouldRejectDamagedSnapshot() throws CorruptLogException, IOException {
            // given
            writeEntries();
            SnapshotMetaProto meta =
                    SnapshotMetaProto.newBuilder().setIndex(15).setTerm(1).build();
            try (DurableLog log = DurableLog.open(folder)) {
                log.saveSnapshot(meta, ByteString.copyFromUtf8("state at 15"));
            }
            Path snapshot = folder.resolve("snapshot-0000000000000015");
            byte[] bytes = Files.readAllBytes(snapshot);
            bytes[bytes.length - 1] ^= 1;
            Files.write(snapshot, bytes);

            // when, then
            try (DurableLog log = DurableLog.open(folder)) {
                assertThrows(CorruptLogException.class, log::readSnapshot);
            }
        }
    }

    @Nested
    final class Formatting {
        @Test
        void shouldWriteInitialVotersAndRejectNonEmptyLog() throws CorruptLogException {
            try (DurableLog log = DurableLog.open(folder)) {
                // given
                log.format(List.of("s1#1", "s2#1"));

                // then
                assertThat(log.entry(1).getMembership().getVotersList()).containsExactly("s1#1", "s2#1");
                assertThrows(IllegalStateException.class, () -> log.format(List.of("s1#1")));
            }
        }
    }
}
