package tillerlink.peering.statements;

import com.fasterxml.jackson.core.JsonParser;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.stream.Stream;
import tillerlink.messages.statements.Change;
import tillerlink.messages.statements.Definition;
import tillerlink.messages.statements.ParameterType;
import tillerlink.messages.statements.RunEffect;
import tillerlink.peering.json.JsonBody;
import tillerlink.peering.json.MalformedRequestException;

/**
 * Parses the bodies of clients' requests for statements and schemas. All methods throw {@link
 * MalformedRequestException} if a body is invalid.
 */
final class StatementRequestParser {
  private static final long ANY_GENERATION = -1;

  /**
   * A request to prepare a statement.
   *
   * @param replaces the generation to be replaced, 0 if no statement may have the name, -1 if any
   *     generation may be replaced
   */
  record Preparation(Definition definition, long replaces) {}

  /**
   * A request to run a prepared statement.
   *
   * @param values the values of the statement's parameters; a null element is an SQL null
   * @param minGeneration the earliest generation that may run, 0 for any generation
   */
  record Run(List<String> values, long minGeneration) {}

  private StatementRequestParser() {}

  static Preparation parsePreparation(String name, byte[] body) {
    PreparationFields fields = new PreparationFields();
    JsonRequestReader.readObject(body, fields);
    return fields.toPreparation(name);
  }

  /**
   * Parses a schema change.
   *
   * @param group the table group in the request's path; the body may name additional groups
   */
  static Change parseChange(int group, byte[] body) {
    ChangeFields fields = new ChangeFields(group);
    if (body.length > 0) {
      JsonRequestReader.readObject(body, fields);
    }
    return new Change(fields.groups, fields.removed, fields.altered, fields.renamed);
  }

  static Run parseRun(byte[] body) {
    RunFields fields = new RunFields();
    if (body.length > 0) {
      JsonRequestReader.readObject(body, fields);
    }
    return new Run(fields.values, fields.minGeneration);
  }

  private static final class PreparationFields implements JsonRequestReader.FieldReader {
    private String text = "";
    private String requestClass = "";
    private String effect = "pure";
    private final List<String> types = new ArrayList<>();
    private final List<String> uses = new ArrayList<>();
    private final List<Integer> groups = new ArrayList<>();
    private long replaces = ANY_GENERATION;

    @Override
    public boolean readField(String name, JsonParser json) throws IOException {
      switch (name) {
        case "text" -> text = JsonRequestReader.readText(json);
        case "track" -> requestClass = JsonRequestReader.readText(json);
        case "effect" -> effect = JsonRequestReader.readText(json);
        case "parameters" -> JsonRequestReader.readTexts(json, types);
        case "uses" -> JsonRequestReader.readTexts(json, uses);
        case "groups" -> JsonRequestReader.readNumbers(json, groups, Definition.MAX_GROUP);
        case "over" -> replaces = JsonRequestReader.readNumber(json, Long.MAX_VALUE);
        default -> {
          return false;
        }
      }
      return true;
    }

    Preparation toPreparation(String name) {
      List<ParameterType> parameters =
          types.stream().map(type -> constant(ParameterType.class, "parameters", type)).toList();
      Definition definition =
          new Definition(
              name,
              text,
              parameters,
              groups,
              uses,
              requestClass,
              constant(RunEffect.class, "effect", effect));
      return new Preparation(definition, replaces);
    }

    private static <E extends Enum<E>> E constant(Class<E> type, String field, String value) {
      for (E constant : type.getEnumConstants()) {
        if (JsonBody.lowerCaseName(constant).equals(value)) {
          return constant;
        }
      }
      List<String> expected =
          Stream.of(type.getEnumConstants()).map(JsonBody::lowerCaseName).toList();
      throw new MalformedRequestException(field + ": " + String.join(", ", expected));
    }
  }

  private static final class ChangeFields implements JsonRequestReader.FieldReader {
    private final List<Integer> groups;
    private final List<String> removed = new ArrayList<>();
    private final List<String> altered = new ArrayList<>();
    private final TreeMap<String, String> renamed = new TreeMap<>();

    ChangeFields(int group) {
      groups = new ArrayList<>(List.of(group));
    }

    @Override
    public boolean readField(String name, JsonParser json) throws IOException {
      switch (name) {
        case "groups" -> JsonRequestReader.readNumbers(json, groups, Definition.MAX_GROUP);
        case "removed" -> JsonRequestReader.readTexts(json, removed);
        case "altered" -> JsonRequestReader.readTexts(json, altered);
        case "renamed" -> JsonRequestReader.readRenames(json, renamed);
        default -> {
          return false;
        }
      }
      return true;
    }
  }

  private static final class RunFields implements JsonRequestReader.FieldReader {
    private final List<String> values = new ArrayList<>();
    private long minGeneration;

    @Override
    public boolean readField(String name, JsonParser json) throws IOException {
      switch (name) {
        case "parameters" -> JsonRequestReader.readScalars(json, values);
        case "generation" -> minGeneration = JsonRequestReader.readNumber(json, Long.MAX_VALUE);
        default -> {
          return false;
        }
      }
      return true;
    }
  }
}
