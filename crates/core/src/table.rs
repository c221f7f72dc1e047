//! Table of entities of one kind.

use std::hash::Hash;

use indexmap::IndexMap;

/// Rows by identifier, in insertion order until a row is removed.
#[derive(Clone, Debug, serde::Serialize, serde::Deserialize)]
#[serde(
    transparent,
    bound(
        serialize = "Id: serde::Serialize + Hash + Eq, Row: serde::Serialize",
        deserialize = "Id: serde::Deserialize<'de> + Hash + Eq, Row: serde::Deserialize<'de>"
    )
)]
pub struct EntityTable<Id, Row> {
    rows: IndexMap<Id, Row>,
}

impl<Id, Row> Default for EntityTable<Id, Row> {
    fn default() -> Self {
        Self {
            rows: IndexMap::new(),
        }
    }
}

impl<Id: Hash + Eq, Row> EntityTable<Id, Row> {
    /// Creates an empty table.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Sets the row of `id` and returns the row it replaces.
    pub fn insert(&mut self, id: Id, row: Row) -> Option<Row> {
        self.rows.insert(id, row)
    }

    /// Returns the row of `id`.
    #[must_use]
    pub fn get<Key>(&self, id: &Key) -> Option<&Row>
    where
        Key: ?Sized + Hash + indexmap::Equivalent<Id>,
    {
        self.rows.get(id)
    }

    /// Returns a mutable reference to the row of `id`.
    pub fn get_mut<Key>(&mut self, id: &Key) -> Option<&mut Row>
    where
        Key: ?Sized + Hash + indexmap::Equivalent<Id>,
    {
        self.rows.get_mut(id)
    }

    /// Returns the row of `id`; `make` creates it if there is none.
    pub fn get_or_insert_with(&mut self, id: Id, make: impl FnOnce() -> Row) -> &mut Row {
        self.rows.entry(id).or_insert_with(make)
    }

    /// Whether `id` has a row.
    #[must_use]
    pub fn contains<Key>(&self, id: &Key) -> bool
    where
        Key: ?Sized + Hash + indexmap::Equivalent<Id>,
    {
        self.rows.contains_key(id)
    }

    /// Removes and returns the row of `id`; the last row takes its place in the order.
    pub fn remove<Key>(&mut self, id: &Key) -> Option<Row>
    where
        Key: ?Sized + Hash + indexmap::Equivalent<Id>,
    {
        self.rows.swap_remove(id)
    }

    /// Keeps only the rows for which `keep` returns `true`; preserves their order.
    pub fn retain(&mut self, keep: impl FnMut(&Id, &mut Row) -> bool) {
        self.rows.retain(keep);
    }

    /// Iterates over identifiers and rows in table order.
    #[must_use]
    pub fn iter(&self) -> impl ExactSizeIterator<Item = (&Id, &Row)> {
        self.rows.iter()
    }

    /// Iterates over identifiers and mutable rows in table order.
    #[must_use]
    pub fn iter_mut(&mut self) -> impl ExactSizeIterator<Item = (&Id, &mut Row)> {
        self.rows.iter_mut()
    }

    /// Iterates over the rows in table order.
    #[must_use]
    pub fn rows(&self) -> impl ExactSizeIterator<Item = &Row> {
        self.rows.values()
    }

    /// Iterates over the mutable rows in table order.
    #[must_use]
    pub fn rows_mut(&mut self) -> impl ExactSizeIterator<Item = &mut Row> {
        self.rows.values_mut()
    }

    /// Iterates over the identifiers in table order.
    #[must_use]
    pub fn ids(&self) -> impl ExactSizeIterator<Item = &Id> {
        self.rows.keys()
    }

    /// Number of rows.
    #[must_use]
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Whether the table has no rows.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Removes every row.
    pub fn clear(&mut self) {
        self.rows.clear();
    }
}

impl<Id: Hash + Eq, Row: PartialEq> PartialEq for EntityTable<Id, Row> {
    fn eq(&self, other: &Self) -> bool {
        self.rows == other.rows
    }
}

impl<Id: Hash + Eq, Row> FromIterator<(Id, Row)> for EntityTable<Id, Row> {
    fn from_iter<T: IntoIterator<Item = (Id, Row)>>(iter: T) -> Self {
        Self {
            rows: iter.into_iter().collect(),
        }
    }
}
