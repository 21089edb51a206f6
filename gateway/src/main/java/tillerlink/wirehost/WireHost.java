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
 * Hosts many gateways on the simulator's wire: a line of events in, a line of actions out. They
 * share nothing.
 */
public final class WireHost {
  private final DispatchPolicyFactory policies;
  private final JsonFactory factory = new JsonFactory();
  private final ByteArrayOutputStream reply = new ByteArrayOutputStream();
  private final JsonGenerator actions;
  private final Map<Integer, Instance> instances = new HashMap<>();
  private final Map<Integer, List<Row>> pages = new HashMap<>();
  private final Set<Integer> touched = new LinkedHashSet<>();

  public WireHost(DispatchPolicyFactory policies) throws IOException {
    this.policies = policies;
    actions = factory.createGenerator(reply).setRootValueSeparator(new SerializedString(""));
  }

  /** Answers batches until the input ends. */
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

  /** The reply to one batch, with the line's end. */
  private void answer(String line, OutputStream out) throws IOException {
    try (JsonParser parser = factory.createParser(line)) {
      actions.writeStartObject();
      actions.writeArrayFieldStart("do");
      batch(parser);
      actions.writeEndArray();
      actions.writeEndObject();
    }
    actions.writeRaw('\n');
    actions.flush();
    reply.writeTo(out);
    reply.reset();
    out.flush();
  }

  private void batch(JsonParser parser) throws IOException {
    if (parser.nextToken() != JsonToken.START_OBJECT) {
      throw new MalformedWireException("a batch is not an object");
    }
    Long clock = null;
    List<Message> inbox = null;
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      JsonToken token = parser.nextToken();
      if (name.equals("wall_us") && token == JsonToken.VALUE_NUMBER_INT) {
        clock = parser.getLongValue();
      } else if (name.equals("inbox") && token == JsonToken.START_ARRAY) {
        inbox = new ArrayList<>();
        while (parser.nextToken() != JsonToken.END_ARRAY) {
          inbox.add(Message.of(Json.value(parser)));
        }
      } else {
        parser.skipChildren();
      }
    }
    if (clock == null || inbox == null) {
      throw new MalformedWireException("a batch lacks its clock (wall_us) or its inbox (an array)");
    }
    if (parser.nextToken() != null) {
      throw new MalformedWireException("more than one value on a line");
    }
    long now = Units.toTenths(clock);
    for (Message event : inbox) {
      take(now, event);
    }
    for (int number : touched) {
      Instance instance = instances.get(number);
      if (instance != null) {
        guarded(instance, () -> instance.policy().applyDecisions(now));
      }
    }
    touched.clear();
  }

  private void take(long now, Message event) throws IOException {
    if (event.name().equals("DefineList")) {
      List<Row> rows = new ArrayList<>();
      event.list(2, "rows").forEach(raw -> rows.add(Row.of(raw)));
      pages.put((int) event.number(1, "page"), rows);
      return;
    }
    int number = (int) event.number(1, "gateway_id");
    switch (event.name()) {
      case "Up" -> start(now, number, event);
      case "Retire" -> {
        instances.remove(number);
        touched.remove(number);
      }
      default -> pass(now, number, event);
    }
  }

  private void start(long now, int number, Message event) throws IOException {
    long seed = event.number(2, "rng_seed");
    Map<String, Object> settings = event.object(3, "settings");
    touched.remove(number);
    touched.add(number);
    try {
      instances.put(number, new Instance(number, now, seed, settings, policies, actions));
    } catch (RuntimeException e) {
      panic(number, e);
    }
  }

  private void pass(long now, int number, Message event) {
    Instance instance = instances.get(number);
    if (instance == null) {
      System.err.println(
          "tillerlink: event " + event.name() + " for gateway " + number + ", which is not up");
      return;
    }
    touched.add(number);
    List<Row> rows =
        event.name().equals("BackendsChanged")
            ? pages.getOrDefault((int) event.numberOr(4, -1), List.of())
            : List.of();
    guarded(
        instance,
        () -> {
          if (!instance.take(now, event, rows)) {
            instance.log("unknown event " + event.name() + " ignored");
          }
        });
  }

  private void guarded(Instance instance, Runnable work) {
    try {
      work.run();
    } catch (MalformedWireException e) {
      throw e;
    } catch (RuntimeException e) {
      e.printStackTrace();
      instance.panic(cause(e));
    }
  }

  private void panic(int number, RuntimeException e) throws IOException {
    e.printStackTrace();
    actions.writeStartArray();
    actions.writeString("Panic");
    actions.writeNumber(number);
    actions.writeString(cause(e));
    actions.writeEndArray();
  }

  private static String cause(RuntimeException e) {
    StackTraceElement[] trace = e.getStackTrace();
    return trace.length == 0 ? e.toString() : e + " at " + trace[0];
  }
}
