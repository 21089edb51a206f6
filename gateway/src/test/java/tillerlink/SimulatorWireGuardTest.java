package tillerlink;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.Proxy;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;
import tillerlink.model.Attempt;
import tillerlink.model.AttemptOutcome;
import tillerlink.model.AttemptProgress;
import tillerlink.model.EndpointUpdate;
import tillerlink.model.Engine;
import tillerlink.model.Engine.Status;
import tillerlink.model.Request;
import tillerlink.policy.DefaultDispatchPolicy;
import tillerlink.port.DispatchPolicy;
import tillerlink.wirehost.WireHost;

/**
 * Pins the simulator's wire to the byte. The recorded input contains every kind of event, every
 * outcome, every list mode and every kind of progress; the recorded output contains the actions as
 * they are written.
 */
class SimulatorWireGuardTest {
  @Test
  void recordedInputGivesTheRecordedOutputByteForByte() throws IOException {
    assertEquals(resource("simulator-output.jsonl"), repliesTo(resource("simulator-input.jsonl")));
  }

  /**
   * The text after " at " is removed before the comparison, because it is a line of the JDK's
   * source code, which differs between builds of the JDK.
   */
  @Test
  void panicReportsTheExceptionOfAnInstance() throws IOException {
    String output =
        repliesTo(
            "{\"wall_us\":1000,\"inbox\":[[\"Up\",7,5,{\"profiles\":[{}]}],"
                + "[\"Incoming\",7,\"id-1\",0,false,false,9,900000]]}");
    assertEquals(
        "{\"do\":[[\"Panic\",7,\"java.lang.IndexOutOfBoundsException: "
            + "Index 9 out of bounds for length 1\"]]}\n",
        output.replaceFirst(" at [^\"]*\"", "\""));
  }

  /**
   * Guards against confusing names, codes or value indices whose confusion would not change the
   * decisions for the recorded input.
   */
  @Test
  void namesCodesAndValueIndicesOfEventsKeepTheirMeaning() throws IOException {
    StringBuilder replies = new StringBuilder();
    String[] outcomeNames = {
      "completed",
      "saturated",
      "overdue",
      "refused_conn",
      "severed",
      "recalled",
      "superseded",
      "any other"
    };
    StringBuilder input =
        new StringBuilder(
            "{\"wall_us\":1000,\"inbox\":[[\"Up\",3,5,{}],"
                + "[\"DefineList\",0,[[1,250000,2,1,4,0.5,\"e1\"],[0,null,0,2,0,1,\"e2\"],"
                + "[0,null,0,0,0,1,\"e3\"]]],[\"BackendsChanged\",3,1,1,0],"
                + "[\"BackendsChanged\",3,2,2,7],[\"BackendsChanged\",3,3,2,7]");
    for (int i = 0; i < outcomeNames.length; i++) {
      input
          .append(",[\"Incoming\",3,\"s")
          .append(i)
          .append("\",11,false,true,2,900000,0,\"key\",12000,384]");
      replies
          .append(",[\"Reply\",3,\"s")
          .append(i)
          .append("\",0,\"e1\",\"")
          .append(outcomeNames[i])
          .append("\",1800,true,4096012,[3,0.5]]");
    }
    for (int kind = 1; kind <= 3; kind++) {
      input.append(",[\"Change\",3,\"s0\",0.25,0,").append(kind).append(",0]");
    }
    List<Object> received = new ArrayList<>();
    List<Request> arrived = new ArrayList<>();
    DispatchPolicy policy =
        (DispatchPolicy)
            Proxy.newProxyInstance(
                DispatchPolicy.class.getClassLoader(),
                new Class<?>[] {DispatchPolicy.class},
                (proxy, method, values) -> {
                  for (Object value : values) {
                    if (value instanceof Request request) {
                      arrived.add(request);
                      request.attempts.add(new Attempt(request, new Engine("e1"), 0, 1, 1, false));
                    } else if (!(value instanceof Attempt)) {
                      received.add(
                          value instanceof double[] report ? Arrays.toString(report) : value);
                    }
                  }
                  return null;
                });
    new WireHost((now, seed, values, actions) -> policy)
        .serve(
            new ByteArrayInputStream(
                (input.append(replies) + "]}").getBytes(StandardCharsets.UTF_8)),
            new ByteArrayOutputStream());

    EndpointUpdate first = endpointUpdate(received, 0);
    List<Object> expected =
        new ArrayList<>(
            List.of(
                10L,
                true,
                List.of(
                    new EndpointUpdate(first.engine(), 1, 2, 4, 0.5, Status.READY, 2500),
                    new EndpointUpdate(
                        endpointUpdate(received, 1).engine(), 0, 0, 0, 1, Status.DRAINING, 0),
                    new EndpointUpdate(
                        endpointUpdate(received, 2).engine(), 0, 0, 0, 1, Status.GONE, 0)),
                10L,
                false,
                List.of(),
                10L,
                true,
                List.of()));
    expected.addAll(List.of(10L, 10L, 10L, 10L, 10L, 10L, 10L, 10L));
    expected.addAll(
        List.of(
            10L,
            AttemptProgress.PROGRESS,
            0.25,
            10L,
            AttemptProgress.SPILLS,
            0.25,
            10L,
            AttemptProgress.WAITS,
            0.25));
    for (AttemptOutcome outcome :
        List.of(
            AttemptOutcome.SUCCEEDED,
            AttemptOutcome.REJECTED,
            AttemptOutcome.TIMED_OUT,
            AttemptOutcome.CONNECT_FAILED,
            AttemptOutcome.CONNECTION_LOST,
            AttemptOutcome.CANCELLED,
            AttemptOutcome.NOT_SENT,
            AttemptOutcome.FAILED)) {
      expected.addAll(List.of(10L, outcome, 18L, true, 10_000.0, 48.0, "[3.0, 0.5]"));
    }
    expected.add(10L);
    assertEquals(expected, received);
    assertEquals("e1", first.engine().tag);
    assertEquals("s7", arrived.get(7).tag);
    assertEquals(2, arrived.get(7).classIndex);
    assertEquals(11, arrived.get(7).tableGroup);
    assertEquals(true, arrived.get(7).resent);
    assertEquals(9000, arrived.get(7).clientDeadline);
    assertEquals(120.0, arrived.get(7).workEstimate);
    assertEquals(384.0, arrived.get(7).memoryEstimate);
    assertSame(arrived.get(0).keyQueue, arrived.get(7).keyQueue);
  }

  private static EndpointUpdate endpointUpdate(List<Object> received, int index) {
    return (EndpointUpdate) ((List<?>) received.get(2)).get(index);
  }

  private static String repliesTo(String input) throws IOException {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    new WireHost(DefaultDispatchPolicy::new)
        .serve(new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8)), output);
    return output.toString(StandardCharsets.UTF_8);
  }

  private static String resource(String name) throws IOException {
    try (InputStream in = SimulatorWireGuardTest.class.getResourceAsStream("/guards/" + name)) {
      return new String(in.readAllBytes(), StandardCharsets.UTF_8);
    }
  }
}
