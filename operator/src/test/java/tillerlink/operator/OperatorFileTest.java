package tillerlink.operator;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import tillerlink.trace.Layout;

/** Everything that is wrong in an operator's file is told in one run, each with its line and column. */
class OperatorFileTest {
    @TempDir
    private Path folder;

    private OperatorFile read(String text) throws IOException {
        return OperatorFile.read(Files.writeString(folder.resolve("operator.hcl"), text));
    }

    private String faults(String text) {
        StringBuilder all = new StringBuilder();
        assertThrows(OperatorFile.FaultyException.class, () -> read(text)).faults()
                .forEach(fault -> all.append(fault).append('\n'));
        return all.toString();
    }

    @Test
    void allFaultsAreTold() {
        assertEquals("""
                2:3: 'form' is none of text, json
                3:3: 'colour' is not known in log
                5:12: 'median_work_ms' is missing in track "a b"
                5:12: a track's name is of letters, digits, - and _, 32 at most
                6:3: 'effect' is none of pure, receipted, effectful
                7:3: 'soft_limit_ms' is not a number
                8:3: 'hard_stop_ms' is not a plain value; texts stand in quotes, and nothing is worked out here
                9:3: 'threads' is not a whole number
                10:3: 'kinds' is not a list of texts in quotes
                12:6: a fleet wants kinds and engines
                13:3: 'gateways' is 0, not within 1 and 1000
                14:3: 'zones' is not a list of texts in quotes
                15:8: a block 'bogus' is not known in fleet
                18:1: 'alone' is not known in the file
                """, faults("""
                log {
                  form = "xml"
                  colour = 3
                }
                track "a b" {
                  effect = "maybe"
                  soft_limit_ms = "ten"
                  hard_stop_ms = 5 * 2
                  threads = 1.5
                  kinds = ["a", 3]
                }
                fleet {
                  gateways = 0
                  zones = "east"
                  bogus {
                  }
                }
                alone = true
                """));
    }

    @Test
    void namesLeadSomewhere() {
        assertEquals("""
                11:5: there is no kind 'k2'
                21:3: there is no kind 'k9' in the fleet
                26:3: there is no engine 'e7'
                31:3: there is no gateway 'e1'
                35:3: there is no column 'no'
                36:3: there is no column 9
                39:7: a test wants one of: in, not_in, or least and most
                """, faults("""
                fleet {
                  zones = ["z"]
                  kind "k" {
                    cores = 8
                    memory_mb = 10
                  }
                  engines "e" {
                    zone = "z"
                    count = 2

                    kind = "k2"
                  }
                  gateways = 2
                }
                track "t" {
                  effect = "pure"
                  soft_limit_ms = 10
                  hard_stop_ms = 20
                  median_work_ms = 1

                  kinds = ["k9"]
                }
                trouble {
                  at_s = 1
                  what = "gone"
                  whom = "e7"
                }
                trouble {
                  at_s = 1
                  what = "killed"
                  whom = "e1"
                }
                layout "mine" {
                  columns = ["a", "b", "c"]
                  start = "no"
                  end = "9"
                  job = "3"

                  only {
                    column = "a"
                  }
                }
                """));
    }

    @Test
    void whatIsNotHclIsToldWhereItGoesWrong() {
        assertEquals("2:10: a quote that does not end on its line\n", faults("log {\n  form = \"te\n}\n"));
        assertEquals("1:5: '{' is not closed\n", faults("log {\n"));
        assertEquals("2:1: '}' closes nothing\n", faults("a = 1\n}\n"));
        assertEquals("3:1: a comment that does not end\n", faults("\n\n/* x\n"));
        assertEquals("1:1: 'log' is not known in the file\n2:3: '=' gives no name a value here\n", faults("log = 1\n  = 3\n"));
    }

    @Test
    void aLayoutOfOnesOwn() throws IOException {
        Layout layout = read("""
                layout "mine" {
                  delimiter = ";"
                  columns = ["at", "to", "job"]
                  time_unit = "ms"
                  start = "1"
                  end = "to"
                  job = "job"
                  only {
                    column = "to"
                    least = 5
                  }
                }
                """).layouts().get(0);
        assertEquals("at", layout.start());
        assertEquals(10, layout.tenthsPer());
        assertEquals(5, layout.wanted().get(0).least());
    }
}
