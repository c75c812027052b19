// Builds the forms for the parts of a configuration document from its JSON schema, so that the
// forms have the same members that the schema describes and the daemon validates.
"use strict";

import { button, element } from "./elements.js";

const MAX_SHOWN_ENTRIES = 50;
let nextId = 0;

/** Returns `property` merged with the definition in `schema` that its "$ref" names. */
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

/** Creates a <select>. `options` are { value, text }; the option whose JSON equals that of `value` is selected. */
function select(id, options, value, onchange) {
  const node = element("select", { id });
  for (const option of options) {
    const json = JSON.stringify(option.value) ?? "";
    const selected = json === (JSON.stringify(value) ?? "");
    node.append(element("option", { value: json, selected }, option.text));
  }
  node.onchange = () => onchange(node.value === "" ? undefined : JSON.parse(node.value));
  return node;
}

function choiceInput(id, property, values, value, onchange, required) {
  const options = values.map((one) => ({ value: one, text: one === true ? "yes" : one === false ? "no" : one }));
  if (!required || value === undefined) {
    options.unshift({ value: undefined, text: `(${defaultText(property)})` });
  }
  if (value !== undefined && !values.includes(value)) {
    options.push({ value, text: `${value} (not defined)` });
  }
  return select(id, options, value, onchange);
}

function numberInput(id, property, value, onchange) {
  const node = element("input", { id, type: "number", value: value ?? "", placeholder: defaultText(property) });
  node.step = property.type === "integer" ? "1" : "any";
  node.min = property.minimum ?? property.exclusiveMinimum ?? "";
  node.max = property.maximum ?? "";
  node.onchange = () => onchange(node.value === "" ? undefined : Number(node.value));
  return node;
}

function textInput(id, property, value, onchange, required) {
  const node = element("input", { id, type: "text", value: value ?? "", required, spellcheck: false });
  node.onchange = () => onchange(node.value === "" ? undefined : node.value.trim());
  return node;
}

/** Creates one check box for each name that can be selected. */
function checkboxes(names, value, onchange) {
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
    const text = names.includes(name) ? name : `${name} (not defined)`;
    return element("div", { className: "row" }, box, element("label", { htmlFor: id }, text));
  });
}

function linesInput(id, value, onchange) {
  const node = element("textarea", { id, rows: 3, value: (value ?? []).join("\n"), spellcheck: false });
  node.onchange = () => onchange(node.value.split(/\s+/).filter((line) => line !== ""));
  return node;
}

function inputFor(context, id, property, value, onchange, required) {
  if (property["x-refers-to"]) {
    const names = Object.keys(context.draft[property["x-refers-to"]] ?? {}).sort();
    return choiceInput(id, property, names, value, onchange, required);
  }
  if (property.enum) {
    return choiceInput(id, property, property.enum, value, onchange, required);
  }
  if (property.type === "boolean") {
    return choiceInput(id, property, [true, false], value, onchange, required);
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
      help, ...checkboxes(names, value, onchange));
  }
  if (property.type === "object") {
    const inner = fields(context, property, value ?? {}, (now) => onchange(Object.keys(now).length ? now : undefined));
    return element("fieldset", { className: "field wide" }, element("legend", {}, labelOf(name)), help, inner);
  }
  const id = `f${nextId++}`;
  const input = property.type === "array" ? linesInput(id, value, onchange)
    : inputFor(context, id, property, value, onchange, required);
  return element("div", { className: property.type === "array" ? "field wide" : "field" },
    element("label", { htmlFor: id }, labelOf(name)), input, help);
}

/** Creates the fields of one object; `onchange` receives a new copy of the whole object. */
function fields(context, definition, value, onchange) {
  const children = Object.entries(definition.properties).map(([name, raw]) => {
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
  return element("div", { className: "fields" }, ...children);
}

/** Creates the form that adds an API key; null where the browser has no crypto.subtle to hash it. */
function keyForm(entry, onAdd) {
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
    onAdd({ ...entry(), key_sha256: [...(entry().key_sha256 ?? []), hash] });
  };
  return element("div", { className: "row" }, element("label", { htmlFor: id }, "Add a key (only its SHA-256 hash is stored)"),
    input, button("Add key", add, { className: "plain" }));
}

function entryForm(context, part, name, open) {
  const definition = resolve(context.schema, context.schema.properties[part].additionalProperties);
  const entry = () => context.draft[part][name];
  const set = (now) => {
    context.draft[part][name] = now;
    context.onDraftChange();
  };
  const remove = button(`Remove ${name}`, () => {
    delete context.draft[part][name];
    context.onDraftChange();
    context.render();
  }, { className: "plain" });
  const node = element("details", { open }, element("summary", {}, name));
  const fill = () => {
    const keyInput = part === "workspaces" ? keyForm(entry, (now) => { set(now); context.render(); }) : null;
    node.append(fields(context, definition, entry(), set), ...(keyInput ? [keyInput] : []), remove);
  };
  node.ontoggle = () => {
    context.openEntries[node.open ? "add" : "delete"](`${part}.${name}`);
    if (node.open && node.children.length === 1) {
      fill();
    }
  };
  if (open) {
    fill();
  }
  return node;
}

function newEntryForm(context, part) {
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
    context.openEntries.add(`${part}.${name}`);
    context.filter[part] = "";
    context.onDraftChange();
    context.render();
  };
  return form;
}

/**
 * Creates the form for one part of the document. `context` holds the schema, the draft document,
 * the set of open entries, the filter of each part, onDraftChange() and render().
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
  const shown = matching.slice(0, MAX_SHOWN_ENTRIES);
  return element("section", {}, element("h2", {}, labelOf(part)), newEntryForm(context, part),
    element("div", { className: "row" }, element("label", { htmlFor: id }, "Filter by name"), search,
      element("span", {}, `${shown.length} of ${names.length}`)),
    ...shown.map((name) => entryForm(context, part, name, context.openEntries.has(`${part}.${name}`))));
}
