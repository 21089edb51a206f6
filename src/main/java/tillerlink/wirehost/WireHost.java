package tillerlink.wirehost;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import tillerlink.port.SteeringFactory;

/** Hosts many gateways on the simulator's wire: a line of events in, a line of actions out. They share nothing. */
public final class WireHost {
    private final SteeringFactory factory;
    private final Json json = new Json();
    private final Map<Integer, Instance> instances = new HashMap<>();
    private final Map<Integer, List<Row>> pages = new HashMap<>();
    private final Set<Integer> touched = new LinkedHashSet<>();

    public WireHost(SteeringFactory factory) {
        this.factory = factory;
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
                out.write(answer(line).getBytes(StandardCharsets.UTF_8));
            } catch (JsonProcessingException e) {
                throw new MalformedWireException("line " + lineNumber + " is not JSON: " + e.getOriginalMessage());
            } catch (MalformedWireException e) {
                throw new MalformedWireException("line " + lineNumber + ": " + e.getMessage());
            }
            out.flush();
        }
    }

    /** The reply to one batch, with the line's end. */
    String answer(String line) throws IOException {
        StringWriter text = new StringWriter();
        try (JsonParser parser = json.factory().createParser(line);
             JsonGenerator actions = json.factory().createGenerator(text)) {
            actions.writeStartObject();
            actions.writeArrayFieldStart("do");
            batch(parser, actions);
            actions.writeEndArray();
            actions.writeEndObject();
        }
        return text.append('\n').toString();
    }

    private void batch(JsonParser parser, JsonGenerator actions) throws IOException {
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
            throw new MalformedWireException("a batch lacks its clock (wall_us, a whole number) or its inbox (an array)");
        }
        if (parser.nextToken() != null) {
            throw new MalformedWireException("more than one value on a line");
        }
        long now = Units.toTenths(clock);
        for (Message event : inbox) {
            take(now, event, actions);
        }
        for (int number : touched) {
            Instance instance = instances.get(number);
            if (instance != null) {
                guarded(number, instance, actions, () -> instance.steering().settle(now));
            }
        }
        touched.clear();
    }

    private void take(long now, Message event, JsonGenerator actions) throws IOException {
        if (event.name().equals("DefineList")) {
            List<Row> rows = new ArrayList<>();
            event.list(2, "rows").forEach(raw -> rows.add(Row.of(raw)));
            pages.put((int) event.number(1, "page"), rows);
            return;
        }
        int number = (int) event.number(1, "gateway_id");
        switch (event.name()) {
            case "Up" -> start(now, number, event, actions);
            case "Retire" -> {
                instances.remove(number);
                touched.remove(number);
            }
            default -> pass(now, number, event, actions);
        }
    }

    private void start(long now, int number, Message event, JsonGenerator actions) throws IOException {
        long seed = event.number(2, "rng_seed");
        Map<String, Object> settings = event.object(3, "settings");
        touched.remove(number);
        touched.add(number);
        try {
            instances.put(number, new Instance(number, now, seed, settings, factory, actions));
        } catch (RuntimeException e) {
            panic(number, actions, e);
        }
    }

    private void pass(long now, int number, Message event, JsonGenerator actions) {
        Instance instance = instances.get(number);
        if (instance == null) {
            System.err.println("tillerlink: event " + event.name() + " for gateway " + number + ", which is not up");
            return;
        }
        touched.add(number);
        List<Row> rows = event.name().equals("BackendsChanged")
                ? pages.getOrDefault((int) event.numberOr(4, -1), List.of()) : List.of();
        guarded(number, instance, actions, () -> {
            if (!instance.take(now, event, rows)) {
                instance.log("unknown event " + event.name() + " ignored");
            }
        });
    }

    private void guarded(int number, Instance instance, JsonGenerator actions, Runnable work) {
        try {
            work.run();
        } catch (MalformedWireException e) {
            throw e;
        } catch (RuntimeException e) {
            e.printStackTrace();
            instance.panic(cause(e));
        }
    }

    private static void panic(int number, JsonGenerator actions, RuntimeException e) throws IOException {
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
