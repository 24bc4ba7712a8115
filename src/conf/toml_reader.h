/*
 * C++: reads TOML tables into C structures. Wrong fields are recorded, not thrown; the
 * first of them is what the operator sees.
 */
#ifndef PLOVERLOFT_TOML_READER_H
#define PLOVERLOFT_TOML_READER_H

#include <cstddef>
#include <cstring>
#include <string>
#include <utility>

#define TOML_EXCEPTIONS 1
#include <toml++/toml.h>

#include "conf/conf.h"
#include "util/xalloc.h"

using node_view = toml::node_view<toml::node>;

enum class presence { required, optional };

constexpr double not_negative = 0;
constexpr double number_max = 1e12;

/* Reads fields into C structures and keeps the first error; a wrong field stays as it was. */
class field_reader
{
      public:
	bool failed() const
	{
		return !error_.empty();
	}

	const std::string &error() const
	{
		return error_;
	}

	void fail(const std::string &field, const char *reason)
	{
		if (!failed())
			error_ = "field " + field + ": " + reason;
	}

	/* A required string of 1 to CONF_NAME_MAX - 1 bytes, into `out` with its NUL. */
	void text(const node_view &node, const std::string &field, char (&out)[CONF_NAME_MAX])
	{
		auto value = node.value_exact<std::string>();

		if (!node)
			return fail(field, "missing");
		if (!value)
			return fail(field, "must be a string");
		if (value->empty() || value->size() >= sizeof(out))
			return fail(field, "must have 1 to 63 bytes");
		out[value->copy(out, sizeof(out) - 1)] = 0;
	}

	/* A required string of the form HOST:PORT; its parts are judged where it is used. */
	void address(const node_view &node, const std::string &field, char (&out)[CONF_NAME_MAX])
	{
		text(node, field, out);
		if (!failed() && !std::strrchr(out, ':'))
			fail(field, "must be HOST:PORT");
	}

	/* A number from `min` on. Without one that is optional, `out` keeps what it holds. */
	void number(const node_view &node, const std::string &field, double *out, presence needed,
		    double min)
	{
		auto value = node.value<double>();

		if (!node) {
			if (needed == presence::required)
				fail(field, "missing");
			return;
		}
		if (!node.is_number() || !value)
			return fail(field, "must be a number");
		if (!(*value >= min) || *value > number_max)
			return fail(field, min > 0 ? "must be above zero" : "must not be negative");
		*out = *value;
	}

      private:
	std::string error_;
};

/* The fields of one table; errors name them by the table's own name and theirs. */
class table_reader
{
      public:
	table_reader(field_reader &fields, node_view table, std::string name)
	    : fields_(fields), table_(table), name_(std::move(name))
	{
	}

	bool has(const char *key) const
	{
		return static_cast<bool>(table_[key]);
	}

	void text(const char *key, char (&out)[CONF_NAME_MAX])
	{
		fields_.text(table_[key], path(key), out);
	}

	void address(const char *key, char (&out)[CONF_NAME_MAX])
	{
		fields_.address(table_[key], path(key), out);
	}

	void required(const char *key, double *out, double min)
	{
		fields_.number(table_[key], path(key), out, presence::required, min);
	}

	void optional(const char *key, double *out)
	{
		fields_.number(table_[key], path(key), out, presence::optional, not_negative);
	}

	void number(const char *key, double *out, presence needed, double min)
	{
		fields_.number(table_[key], path(key), out, needed, min);
	}

	/* The table under `key`. */
	table_reader operator[](const char *key) const
	{
		return table_reader(fields_, table_[key], path(key));
	}

	/*
	 * An optional array of tables: allocates one T for each, all zero, and has `read_element`
	 * fill it. `out` is freed by the caller, with `count` elements filled also after an error.
	 */
	template <typename T, typename ReadElement>
	void array(const char *key, T **out, size_t *count, ReadElement read_element)
	{
		node_view node = table_[key];
		auto *elements = node.as_array();

		*count = 0;
		if (!node)
			return;
		if (!elements)
			return fields_.fail(path(key), "must be an array of tables");
		*out = static_cast<T *>(xcalloc(elements->size(), sizeof(T)));
		for (auto &element : *elements) {
			std::string name = path(key) + "[" + std::to_string(*count) + "]";

			if (!element.is_table())
				return fields_.fail(name, "must be a table");
			table_reader table(fields_, node_view(element), name);
			read_element(table, (*out)[*count]);
			(*count)++;
		}
	}

	/* An absent table is none that is wrong: its required fields are reported one by one. */
	void require_table_if_present()
	{
		if (table_ && !table_.is_table())
			fields_.fail(name_, "must be a table");
	}

      private:
	std::string path(const char *key) const
	{
		return name_.empty() ? std::string(key) : name_ + "." + key;
	}

	field_reader &fields_;
	node_view table_;
	std::string name_;
};

#endif
