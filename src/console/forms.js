// Builds the forms of the document's parts from its schema, so that schema, check and forms
// know the same members.
"use strict";

import { button, element } from "./elements.js";

const SHOWN_ENTRIES = 50;
let nextId = 0;

/** Follows "$ref" inside `schema`. */
function resolve(schema, property) {
  const reference = property.$ref;
  return reference ? { ...schema.$defs[reference.split("/").pop()], ...property } : property;
}

function labelOf(name) {
  return name.replaceAll("_", " ");
}

function defaultText(property) {
  return "default" in property ? `default: ${property.default}` : "none";
}

/** A <select>; `options` are { value, text }, compared by their JSON. */
function select(id, options, value, onchange) {
  const made = element("select", { id });
  for (const option of options) {
    const json = JSON.stringify(option.value) ?? "";
    const selected = json === (JSON.stringify(value) ?? "");
    made.append(element("option", { value: json, selected }, option.text));
  }
  made.onchange = () => onchange(made.value === "" ? undefined : JSON.parse(made.value));
  return made;
}

function choice(id, property, values, value, onchange, required) {
  const options = values.map((one) => ({ value: one, text: one === true ? "yes" : one === false ? "no" : one }));
  if (!required || value === undefined) {
    options.unshift({ value: undefined, text: `(${defaultText(property)})` });
  }
  if (value !== undefined && !values.includes(value)) {
    options.push({ value, text: `${value} (not there)` });
  }
  return select(id, options, value, onchange);
}

function numberInput(id, property, value, onchange) {
  const made = element("input", { id, type: "number", value: value ?? "", placeholder: defaultText(property) });
  made.step = property.type === "integer" ? "1" : "any";
  made.min = property.minimum ?? property.exclusiveMinimum ?? "";
  made.max = property.maximum ?? "";
  made.onchange = () => onchange(made.value === "" ? undefined : Number(made.value));
  return made;
}

function textInput(id, property, value, onchange, required) {
  const made = element("input", { id, type: "text", value: value ?? "", required, spellcheck: false });
  made.onchange = () => onchange(made.value === "" ? undefined : made.value.trim());
  return made;
}

/** One check box for each name that may be chosen. */
function checkBoxes(names, value, onchange) {
  const chosen = value ?? [];
  const all = [...names, ...chosen.filter((name) => !names.includes(name))];
  return all.map((name) => {
    const id = `f${nextId++}`;
    const box = element("input", { id, type: "checkbox", checked: chosen.includes(name) });
    box.onchange = () => {
      const now = (value ?? []).filter((one) => one !== name);
      value = box.checked ? [...now, name] : now;
      onchange(value);
    };
    const text = names.includes(name) ? name : `${name} (not there)`;
    return element("div", { className: "row" }, box, element("label", { htmlFor: id }, text));
  });
}

function lines(id, value, onchange) {
  const made = element("textarea", { id, rows: 3, value: (value ?? []).join("\n"), spellcheck: false });
  made.onchange = () => onchange(made.value.split(/\s+/).filter((line) => line !== ""));
  return made;
}

function inputFor(context, id, property, value, onchange, required) {
  if (property["x-refers-to"]) {
    const names = Object.keys(context.draft[property["x-refers-to"]] ?? {}).sort();
    return choice(id, property, names, value, onchange, required);
  }
  if (property.enum) {
    return choice(id, property, property.enum, value, onchange, required);
  }
  if (property.type === "boolean") {
    return choice(id, property, [true, false], value, onchange, required);
  }
  if (property.type === "integer" || property.type === "number") {
    return numberInput(id, property, value, onchange);
  }
  return textInput(id, property, value, onchange, required);
}

function field(context, name, property, value, onchange, required) {
  const help = property.description ? element("p", { className: "help" }, property.description) : null;
  const refersTo = property.type === "array" ? property.items["x-refers-to"] : undefined;
  if (refersTo) {
    const names = Object.keys(context.draft[refersTo] ?? {}).sort();
    return element("fieldset", { className: "field wide" }, element("legend", {}, labelOf(name)),
      help, ...checkBoxes(names, value, onchange));
  }
  if (property.type === "object") {
    const inner = fields(context, property, value ?? {}, (now) => onchange(Object.keys(now).length ? now : undefined));
    return element("fieldset", { className: "field wide" }, element("legend", {}, labelOf(name)), help, inner);
  }
  const id = `f${nextId++}`;
  const input = property.type === "array" ? lines(id, value, onchange)
    : inputFor(context, id, property, value, onchange, required);
  return element("div", { className: property.type === "array" ? "field wide" : "field" },
    element("label", { htmlFor: id }, labelOf(name)), input, help);
}

/** The fields of one object; `onchange` is told the whole object anew. */
function fields(context, definition, value, onchange) {
  const made = Object.entries(definition.properties).map(([name, raw]) => {
    const required = (definition.required ?? []).includes(name);
    return field(context, name, resolve(context.schema, raw), value[name], (now) => {
      value = { ...value };
      if (now === undefined) {
        delete value[name];
      } else {
        value[name] = now;
      }
      onchange(value);
    }, required);
  });
  return element("div", { className: "fields" }, ...made);
}

/** The SHA-256 of a key can be made here only where the browser allows it. */
function keyAdder(entry, onadd) {
  if (!globalThis.crypto?.subtle) {
    return null;
  }
  const id = `f${nextId++}`;
  const input = element("input", { id, type: "password", autocomplete: "off" });
  const add = async () => {
    if (input.value === "") {
      return;
    }
    const bytes = await crypto.subtle.digest("SHA-256", new TextEncoder().encode(input.value));
    const hash = [...new Uint8Array(bytes)].map((byte) => byte.toString(16).padStart(2, "0")).join("");
    input.value = "";
    onadd({ ...entry(), key_sha256: [...(entry().key_sha256 ?? []), hash] });
  };
  return element("div", { className: "row" }, element("label", { htmlFor: id }, "Add a key (only its hash is kept)"),
    input, button("Add key", add, { className: "plain" }));
}

function entryForm(context, part, name, open) {
  const definition = resolve(context.schema, context.schema.properties[part].additionalProperties);
  const entry = () => context.draft[part][name];
  const set = (now) => {
    context.draft[part][name] = now;
    context.changed();
  };
  const remove = button(`Remove ${name}`, () => {
    delete context.draft[part][name];
    context.changed();
    context.render();
  }, { className: "plain" });
  const made = element("details", { open }, element("summary", {}, name));
  const fill = () => {
    const adder = part === "workspaces" ? keyAdder(entry, (now) => { set(now); context.render(); }) : null;
    made.append(fields(context, definition, entry(), set), ...(adder ? [adder] : []), remove);
  };
  made.ontoggle = () => {
    context.open[made.open ? "add" : "delete"](`${part}.${name}`);
    if (made.open && made.children.length === 1) {
      fill();
    }
  };
  if (open) {
    fill();
  }
  return made;
}

function adder(context, part) {
  const id = `f${nextId++}`;
  const pattern = context.schema.properties[part].propertyNames.pattern;
  const input = element("input", { id, type: "text", required: true, pattern, spellcheck: false });
  const form = element("form", { className: "row" }, element("label", { htmlFor: id }, `New in ${part}`),
    input, element("button", { type: "submit" }, "Add"));
  form.onsubmit = (event) => {
    event.preventDefault();
    const name = input.value.trim();
    context.draft[part] ??= {};
    context.draft[part][name] ??= {};
    context.open.add(`${part}.${name}`);
    context.filter[part] = "";
    context.changed();
    context.render();
  };
  return form;
}

/**
 * The form of one part of the document. `context` has the schema, the draft document, the set
 * of open entries, the filter of each part, and changed() and render().
 */
export function partForm(context, part) {
  const names = Object.keys(context.draft[part] ?? {}).sort();
  const filter = context.filter[part] ?? "";
  const matching = names.filter((name) => name.includes(filter));
  const id = `f${nextId++}`;
  const search = element("input", { id, type: "search", value: filter });
  search.onchange = () => {
    context.filter[part] = search.value;
    context.render();
  };
  const shown = matching.slice(0, SHOWN_ENTRIES);
  return element("section", {}, element("h2", {}, labelOf(part)), adder(context, part),
    element("div", { className: "row" }, element("label", { htmlFor: id }, "Show those with"), search,
      element("span", {}, `${shown.length} of ${names.length}`)),
    ...shown.map((name) => entryForm(context, part, name, context.open.has(`${part}.${name}`))));
}
