package tillerlink.wirehost;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.io.SerializedString;
import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tillerlink.plain.Json;
import tillerlink.plain.Units;
import tillerlink.port.DispatchPolicyFactory;

/**
 * Hosts many gateways on the simulator's wire: each line of input is a batch of events, each line
 * of output the actions that answer it. The gateways share nothing but the endpoint lists that
 * events define for them. One thread runs all of it.
 */
public final class WireHost {
  /** In place of a list's number: the event names none. */
  private static final int NO_PAGE = -1;

  /** The events of one line, and the clock in tenths of a millisecond. */
  private record Batch(long now, List<Message> events) {}

  private final DispatchPolicyFactory policies;
  private final JsonFactory factory = new JsonFactory();
  private final ByteArrayOutputStream reply = new ByteArrayOutputStream();
  private final JsonGenerator actions;
  private final Map<Integer, Instance> instances = new HashMap<>();

  /** The endpoint lists under their numbers, which may be defined anew. */
  private final Map<Integer, List<Row>> pages = new HashMap<>();

  /** The gateways that had events in this batch, whose decisions are due at its end. */
  private final Set<Integer> touched = new LinkedHashSet<>();

  /**
   * A host without gateways.
   *
   * @param policies makes the dispatch policy of each gateway
   */
  public WireHost(DispatchPolicyFactory policies) throws IOException {
    this.policies = policies;
    actions = factory.createGenerator(reply).setRootValueSeparator(new SerializedString(""));
  }

  /**
   * Answers batches until the input ends. Errors inside a gateway become actions that report them.
   *
   * @throws MalformedWireException if a line is no batch
   */
  public void serve(InputStream in, OutputStream out) throws IOException {
    BufferedReader lines = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8));
    long lineNumber = 0;
    for (String line = lines.readLine(); line != null; line = lines.readLine()) {
      lineNumber++;
      if (line.isBlank()) {
        continue;
      }
      try {
        answer(line, out);
      } catch (JsonProcessingException e) {
        throw new MalformedWireException(
            "line " + lineNumber + " is not JSON: " + e.getOriginalMessage());
      } catch (MalformedWireException e) {
        throw new MalformedWireException("line " + lineNumber + ": " + e.getMessage());
      }
    }
  }

  /** Writes the reply to one batch. */
  private void answer(String line, OutputStream out) throws IOException {
    try (JsonParser parser = factory.createParser(line)) {
      actions.writeStartObject();
      actions.writeArrayFieldStart(SimulatorWire.ACTIONS);
      handle(readBatch(parser));
      actions.writeEndArray();
      actions.writeEndObject();
    }
    actions.writeRaw('\n');
    actions.flush();
    reply.writeTo(out);
    reply.reset();
    out.flush();
  }

  private static Batch readBatch(JsonParser parser) throws IOException {
    if (parser.nextToken() != JsonToken.START_OBJECT) {
      throw new MalformedWireException("a batch is not an object");
    }
    Long clock = null;
    List<Message> events = null;
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      JsonToken token = parser.nextToken();
      if (name.equals(SimulatorWire.CLOCK) && token == JsonToken.VALUE_NUMBER_INT) {
        clock = parser.getLongValue();
      } else if (name.equals(SimulatorWire.EVENTS) && token == JsonToken.START_ARRAY) {
        events = readEvents(parser);
      } else {
        parser.skipChildren();
      }
    }
    if (clock == null || events == null) {
      throw new MalformedWireException("a batch lacks its clock (wall_us) or its inbox (an array)");
    }
    if (parser.nextToken() != null) {
      throw new MalformedWireException("more than one value on a line");
    }
    return new Batch(Units.toTenths(clock), events);
  }

  private static List<Message> readEvents(JsonParser parser) throws IOException {
    List<Message> events = new ArrayList<>();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      events.add(Message.of(Json.value(parser)));
    }
    return events;
  }

  private void handle(Batch batch) {
    for (Message event : batch.events) {
      handle(batch.now, event);
    }
    for (int gateway : touched) {
      Instance instance = instances.get(gateway);
      if (instance != null) {
        guarded(instance, () -> instance.policy().applyDecisions(batch.now));
      }
    }
    touched.clear();
  }

  private void handle(long now, Message event) {
    if (event.name().equals(SimulatorWire.DEFINE_LIST)) {
      List<Row> rows = new ArrayList<>();
      event.list(SimulatorWire.DefineList.ROWS, "rows").forEach(entry -> rows.add(Row.of(entry)));
      pages.put((int) event.number(SimulatorWire.DefineList.PAGE, "page"), rows);
      return;
    }
    int gateway = (int) event.number(SimulatorWire.GATEWAY, "gateway_id");
    switch (event.name()) {
      case SimulatorWire.UP -> start(now, gateway, event);
      case SimulatorWire.RETIRE -> {
        instances.remove(gateway);
        touched.remove(gateway);
      }
      default -> pass(now, gateway, event);
    }
  }

  private void start(long now, int gateway, Message event) {
    long seed = event.number(SimulatorWire.Up.SEED, "rng_seed");
    Map<String, Object> settings = event.object(SimulatorWire.Up.SETTINGS, "settings");
    touched.remove(gateway);
    touched.add(gateway);
    ActionWriter writer = new ActionWriter(actions, gateway);
    try {
      instances.put(gateway, new Instance(now, seed, settings, policies, writer));
    } catch (RuntimeException e) {
      e.printStackTrace();
      writer.panic(cause(e));
    }
  }

  private void pass(long now, int gateway, Message event) {
    Instance instance = instances.get(gateway);
    if (instance == null) {
      System.err.println(
          "tillerlink: event " + event.name() + " for gateway " + gateway + ", which is not up");
      return;
    }
    touched.add(gateway);
    List<Row> rows =
        event.name().equals(SimulatorWire.ENDPOINTS_CHANGED)
            ? pages.getOrDefault(
                (int) event.numberOr(SimulatorWire.EndpointsChanged.PAGE, NO_PAGE), List.of())
            : List.of();
    guarded(
        instance,
        () -> {
          if (!instance.handle(now, event, rows)) {
            instance.log("unknown event " + event.name() + " ignored");
          }
        });
  }

  /** Runs work of one gateway, whose errors must not end the others. */
  private static void guarded(Instance instance, Runnable work) {
    try {
      work.run();
    } catch (MalformedWireException e) {
      throw e;
    } catch (RuntimeException e) {
      e.printStackTrace();
      instance.panic(cause(e));
    }
  }

  private static String cause(RuntimeException e) {
    StackTraceElement[] trace = e.getStackTrace();
    return trace.length == 0 ? e.toString() : e + " at " + trace[0];
  }
}
