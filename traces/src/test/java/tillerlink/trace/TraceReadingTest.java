package tillerlink.trace;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.GZIPOutputStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests that rows of the published layouts are read as tasks, and that every kind of malformed row
 * is skipped and counted with its reason.
 */
class TraceReadingTest {
  private static final Layout OWN =
      new Layout(
          "own",
          ';',
          true,
          List.of(),
          10,
          "begin",
          "finish",
          "cpu",
          0.01,
          null,
          "job",
          null,
          "team",
          null,
          null,
          List.of(Layout.Test.in("state", "done")),
          Double.MAX_VALUE);

  @TempDir private Path folder;
  private final RowCounts counts = new RowCounts();

  private Shard shard(String name, byte[] bytes) throws IOException {
    return Shard.of(Files.write(folder.resolve(name), bytes));
  }

  private Shard shard(String name, String text) throws IOException {
    return shard(name, text.getBytes(StandardCharsets.UTF_8));
  }

  private List<Task> read(Layout layout, Shard... shards) throws IOException {
    List<Task> tasks = new ArrayList<>();
    try (TaskReader reader = new TaskReader(layout, List.of(shards), List.of(List.of()), counts)) {
      for (Task task = reader.next(); task != null; task = reader.next()) {
        tasks.add(task);
      }
    }
    assertTrue(counts.addsUp(), "some rows are counted neither as used nor as skipped");
    return tasks;
  }

  private String print(List<Task> tasks) {
    StringBuilder out = new StringBuilder();
    for (Task task : tasks) {
      out.append(task.start())
          .append('+')
          .append(task.span())
          .append('x')
          .append(task.cores())
          .append(' ');
    }
    return out.toString().strip();
  }

  @Test
  void readsTasksFromAlibabaRows() throws IOException {
    List<Task> tasks =
        read(
            Layout.ALIBABA_2018,
            shard(
                "a.csv",
                """
                M1,1,j_1,1,Terminated,10,25,150,0.5
                M2,3,j_1,2,Running,11,0,100,0.3\r
                task_Lz,,j_2,1,Terminated,12,12,,
                """));
    assertEquals("100000+150000x1.5 120000+0x1.0", print(tasks));
    assertEquals(1, counts.skipped(SkipReason.OTHER_KIND));
    assertTrue(tasks.get(0).job() != tasks.get(1).job());
  }

  @Test
  void readsTasksFromAzureRows() throws IOException {
    assertEquals(
        "0+36000000x2.0 3000000+3000000x24.0",
        print(
            read(
                Layout.AZURE_2019,
                shard(
                    "v.csv",
                    """
                    vm1,s1,d1,0,3600,99,3,40,Interactive,2,4
                    "vm2",s1,d1,300,600,99,3,40,Delay-insensitive,>24,>64
                    """))));
  }

  @Test
  void joinsStartsAndEndsOfGoogleRows() throws IOException {
    String tail = ",u,0,0,0.5,0.1,0,0\n";
    List<Task> tasks =
        read(
            Layout.GOOGLE_2011,
            shard(
                "g.csv",
                "600000000,,1,0,5,0"
                    + tail // the submission
                    + "601000000,,1,0,5,1"
                    + tail
                    + "602000000,,1,1,5,1"
                    + tail
                    + "603000000,,1,2,5,1"
                    + tail
                    + "604000000,,1,1,5,4"
                    + tail // the second ends first
                    + "605000000,,1,0,5,4"
                    + tail
                    + "606000000,,1,2,5,5"
                    + tail // the third is killed
                    + "607000000,,2,0,5,4"
                    + tail // an end with no start
                    + "608000000,,3,0,5,1"
                    + tail // a start with no end
                    + "9223372036854775807,,4,0,5,1"
                    + tail));
    assertEquals("6020000+20000x8.0 6010000+40000x8.0", print(tasks));
    assertEquals(4, counts.rowsUsed());
    assertEquals(2, counts.skipped(SkipReason.UNPAIRED));
    assertEquals(4, counts.skipped(SkipReason.OTHER_KIND));
  }

  @Test
  void readsTheColumnsOfEachShardFromItsHeader() throws IOException {
    Shard one =
        shard(
            "1.csv", "\ufeffjob;state;begin;finish;cpu;team\nj;done;5;9;200;a\nj;lost;5;9;200;a\n");
    Shard two = shard("2.csv", "finish;begin;job;\"state\";team;cpu\n20;15;k;done;b;50\n");
    assertEquals("50+40x2.0 150+50x0.5", print(read(OWN, one, two)));
    IOException missing =
        assertThrows(IOException.class, () -> read(OWN, shard("3.csv", "job;begin\n")));
    assertEquals("3.csv: no column 'finish' in the header", missing.getMessage());
  }

  /** Reads each kind of malformed row between two valid rows, which must both be used. */
  @Test
  void countsEachKindOfMalformedRowWithItsReason() throws IOException {
    String good = "a,1,j,1,Terminated,1,2,100,0.5\n";
    StringBuilder found = new StringBuilder();
    Map<String, byte[]> rows = new LinkedHashMap<>();
    for (String row :
        List.of(
            "a,1,j,1,Terminated,1,2,100",
            "a,1,j,1,Terminated,1,2,100,0.5,x",
            "\"a,1,j,1,Terminated,1,2,100,0.5",
            "a,1,j,1,Terminated,soon,2,100,0.5",
            "a,1,j,1,Terminated,0x1p3,2,1,1",
            "a,1,j,1,Terminated,99999999999999999999999,2,100,0.5",
            "a,1,j,1,Terminated,-1,2,100,0.5",
            "a,1,j,1,Terminated,5,2,100,0.5",
            "a,1,j,1,Terminated,1,2,1e99,0.5",
            "a,1,j,1,Terminated,1,2,-5,0.5",
            "a,1,j,1,Terminated,1,2,NaN,0.5",
            "a,1,j,1,Terminated,1,2,100," + "9".repeat(70_000),
            "a,1,j,1,Terminated,1,2,100,\0",
            "a,1,j,1,Terminated,1e400,2,100,0.5")) {
      rows.put(row, row.getBytes(StandardCharsets.UTF_8));
    }
    rows.put("broken text", new byte[] {'a', (byte) 0xc3, ',', '1'});
    rows.forEach(
        (row, bytes) -> {
          try {
            ByteArrayOutputStream file = new ByteArrayOutputStream();
            file.writeBytes(good.getBytes(StandardCharsets.UTF_8));
            file.writeBytes(bytes);
            file.writeBytes(("\n" + good).getBytes(StandardCharsets.UTF_8));
            RowCounts one = new RowCounts();
            try (TaskReader reader =
                new TaskReader(
                    Layout.ALIBABA_2018,
                    List.of(shard("b.csv", file.toByteArray())),
                    List.of(List.of()),
                    one)) {
              while (reader.next() != null) {
                assertTrue(one.rowsUsed() <= 2);
              }
            }
            assertEquals(2, one.rowsUsed(), row);
            assertEquals(1, one.bad(), row);
            SkipReason reason =
                Arrays.stream(SkipReason.values())
                    .filter(skip -> one.skipped(skip) == 1)
                    .findFirst()
                    .orElseThrow();
            found.append(reason.word()).append(' ').append(one.places(reason)).append('\n');
          } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
          }
        });
    assertEquals(
        """
        too_few_columns [b.csv:2]
        too_many_columns [b.csv:2]
        quote_open [b.csv:2]
        not_a_number [b.csv:2]
        not_a_number [b.csv:2]
        out_of_range [b.csv:2]
        out_of_range [b.csv:2]
        ends_before_start [b.csv:2]
        out_of_range [b.csv:2]
        out_of_range [b.csv:2]
        not_a_number [b.csv:2]
        line_too_long [b.csv:2]
        nul [b.csv:2]
        not_a_number [b.csv:2]
        broken_utf8 [b.csv:2]
        """,
        found.toString());
  }

  @Test
  void usesTheRowsBeforeTheEndOfATruncatedShard() throws IOException {
    String good = "a,1,j,1,Terminated,1,2,100,0.5\n";
    ByteArrayOutputStream packed = new ByteArrayOutputStream();
    try (OutputStream out = new GZIPOutputStream(packed)) {
      out.write(good.repeat(5000).getBytes(StandardCharsets.UTF_8));
    }
    byte[] truncated = Arrays.copyOf(packed.toByteArray(), packed.size() - 12);
    List<Task> tasks =
        read(
            Layout.ALIBABA_2018,
            shard("cut.csv.gz", truncated),
            shard("empty.csv", ""),
            shard("z.csv", good));
    assertEquals(1, counts.skipped(SkipReason.CUT_OFF));
    assertEquals(counts.rowsRead() - 1, tasks.size());
    assertTrue(
        tasks.size() > 1000, "the rows before the truncation and the following shards are used");
  }

  @Test
  void reportsAFileThatShrinksWhileItIsReadAsCutOff() throws IOException {
    Shard shard = shard("shrinks.csv", "a,1,j,1,Terminated,1,2,100,0.5\n".repeat(20_000));
    long tasks = 0;
    try (TaskReader reader =
        new TaskReader(Layout.ALIBABA_2018, List.of(shard), List.of(List.of()), counts)) {
      while (reader.next() != null) {
        if (tasks++ == 0) {
          try (var file =
              java.nio.channels.FileChannel.open(
                  shard.path(), java.nio.file.StandardOpenOption.WRITE)) {
            file.truncate(300_010);
          }
        }
      }
    }
    assertEquals(1, counts.skipped(SkipReason.CUT_OFF));
    assertTrue(tasks > 1000 && tasks < 20_000, tasks + " tasks");
    assertTrue(counts.addsUp());
  }

  @Test
  void countsAnOverlongLineAsOneMalformedRow() throws IOException {
    Path file = folder.resolve("long.csv");
    try (OutputStream out = Files.newOutputStream(file)) {
      byte[] piece = "x".repeat(1 << 20).getBytes(StandardCharsets.UTF_8);
      for (int i = 0; i < 100; i++) {
        out.write(piece);
      }
      out.write("\na,1,j,1,Terminated,1,2,100,0.5\n".getBytes(StandardCharsets.UTF_8));
    }
    assertEquals(1, read(Layout.ALIBABA_2018, Shard.of(file)).size());
    assertEquals(1, counts.skipped(SkipReason.LINE_TOO_LONG));
  }

  /**
   * Compares the counts of reading a generated trace with the numbers that the generator reports.
   */
  @Test
  void countsOfAGeneratedTraceMatchTheGenerator() throws IOException {
    for (Layout layout : Layout.KNOWN) {
      Path file = folder.resolve(layout.name());
      TraceGenerator.Generated generated;
      try (TraceGenerator generator =
          new TraceGenerator(layout, 11, 0.05, 30_000, Files.newOutputStream(file))) {
        generated = generator.make(4000);
      }
      RowCounts actual = new RowCounts();
      long tasks = 0;
      try (TaskReader reader =
          new TaskReader(layout, List.of(Shard.of(file)), List.of(List.of()), actual)) {
        while (reader.next() != null) {
          tasks++;
        }
      }
      assertTrue(actual.addsUp(), layout.name());
      assertEquals(generated.rows(), actual.rowsRead(), layout.name());
      assertEquals(generated.shuffled(), actual.rowsOutOfOrder(), layout.name());
      for (SkipReason reason : SkipReason.values()) {
        assertEquals(
            generated.bad().getOrDefault(reason, 0L),
            reason.isBad() ? actual.skipped(reason) : 0,
            layout.name() + reason);
      }
      assertEquals(
          generated.tasks(), tasks + actual.skipped(SkipReason.UNPAIRED) / 2, layout.name());
    }
  }

  @Test
  void sameSeedGeneratesTheSameTrace() throws IOException {
    byte[][] files = new byte[2][];
    for (int i = 0; i < 2; i++) {
      ByteArrayOutputStream out = new ByteArrayOutputStream();
      try (TraceGenerator generator = new TraceGenerator(Layout.GOOGLE_2011, 5, 0.1, 10_000, out)) {
        generator.make(1000);
      }
      files[i] = out.toByteArray();
    }
    assertTrue(Arrays.equals(files[0], files[1]));
  }
}
