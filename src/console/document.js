// Works on configuration documents: differences, merge patches and races. No page, no network.
"use strict";

export function isObject(value) {
  return typeof value === "object" && value !== null && !Array.isArray(value);
}

export function equal(a, b) {
  if (isObject(a) && isObject(b)) {
    const names = new Set([...Object.keys(a), ...Object.keys(b)]);
    return [...names].every((name) => equal(a[name], b[name]));
  }
  if (Array.isArray(a) && Array.isArray(b)) {
    return a.length === b.length && a.every((item, i) => equal(item, b[i]));
  }
  return a === b;
}

/** What differs, as { path, before, after } in the order of the paths. */
export function differences(before, after, path = "") {
  const names = [...new Set([...Object.keys(before), ...Object.keys(after)])].sort();
  return names.flatMap((name) => {
    const inside = path === "" ? name : `${path}.${name}`;
    const a = before[name];
    const b = after[name];
    if (isObject(a) && isObject(b)) {
      return differences(a, b, inside);
    }
    return equal(a, b) ? [] : [{ path: inside, before: a, after: b }];
  });
}

/** RFC 7396: `patch` applied to `target`. */
export function mergePatch(target, patch) {
  const result = isObject(target) ? { ...target } : {};
  for (const [name, value] of Object.entries(patch)) {
    if (value === null) {
      delete result[name];
    } else if (isObject(value)) {
      result[name] = mergePatch(result[name], value);
    } else {
      result[name] = value;
    }
  }
  return result;
}

/** The RFC 7396 patch that turns `from` into `to`. */
export function mergePatchBetween(from, to) {
  const patch = {};
  for (const name of Object.keys(from)) {
    if (!(name in to)) {
      patch[name] = null;
    }
  }
  for (const [name, value] of Object.entries(to)) {
    if (equal(from[name], value)) {
      continue;
    }
    patch[name] = isObject(value)
      ? mergePatchBetween(isObject(from[name]) ? from[name] : {}, value) : value;
  }
  return patch;
}

/** True if one of the two paths lies inside the other, or they are the same. */
function touches(a, b) {
  return a === b || a.startsWith(`${b}.`) || b.startsWith(`${a}.`);
}

/** The differences of `mine` that `theirs` changed otherwise at the same place. */
export function clashes(mine, theirs) {
  return mine.filter((own) => theirs.some(
    (other) => touches(own.path, other.path)
      && !(own.path === other.path && equal(own.after, other.after))));
}
